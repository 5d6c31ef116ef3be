"""A part that crashes engines after their first event is never stopped."""

import deadly
import scene

_PLAY = deadly.DeadlyPlay(engines=6, events_written=1, first_event_s=(0.1, 0.3))

if __name__ == "__main__":
    scene.main(__file__, 3, _PLAY.make_runners, _PLAY.play)
