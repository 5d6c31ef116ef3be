"""Guards against reporting a change as accepted too early."""

from hibiscuspass.core.configuration import acceptance as acceptance_lib
from hibiscuspass.core.configuration import messages


def _ack(process, revision, *known):
    return messages.ConfigAck(
        process,
        (messages.Acknowledged("bakery", revision),),
        tuple(messages.KnownRouter(k, f"{k}:1") for k in known),
    )


def _acceptance(*processes):
    made = acceptance_lib.Acceptance("bakery", 10)
    made.add_targets(acceptance_lib.Target(p, f"{p}:1") for p in processes)
    return made


def _answer(acceptance, answers):
    for target in acceptance.begin_round():
        if target.process in answers:
            acceptance.record_ack(target, answers[target.process])


def test_every_registered_router_must_acknowledge():
    acceptance = _acceptance("a/1", "b/1")
    _answer(acceptance, {"a/1": _ack("a/1", 10)})
    assert acceptance.missing() == ("b/1",)


def test_a_lower_revision_does_not_acknowledge_the_change():
    acceptance = _acceptance("a/1")
    _answer(acceptance, {"a/1": _ack("a/1", 9)})
    assert acceptance.missing() == ("a/1",)
    assert not acceptance.is_accepted()


def test_a_router_that_another_one_reports_must_acknowledge():
    """Guards against missing a router that is not registered.

    A router that starts while the key-value service is down is known only to
    the peer that it contacted, which reports it in its acknowledgements.
    """
    acceptance = _acceptance("a/1")
    _answer(acceptance, {"a/1": _ack("a/1", 10, "a/1", "b/1")})
    assert acceptance.missing() == ("b/1",)
    _answer(acceptance, {"b/1": _ack("b/1", 10, "a/1", "c/1")})
    assert acceptance.missing() == ("c/1",)
    _answer(acceptance, {"c/1": _ack("c/1", 11)})
    assert acceptance.is_accepted()


def test_a_listed_vm_without_a_known_incarnation_must_acknowledge():
    acceptance = _acceptance("a")
    assert acceptance.missing() == ("a",)
    _answer(acceptance, {"a": _ack("a/1", 10)})
    assert acceptance.is_accepted()


def test_an_ended_incarnation_is_replaced_by_the_one_that_answers():
    acceptance = _acceptance("a/1")
    _answer(acceptance, {"a/1": _ack("a/2", 9)})
    assert acceptance.missing() == ("a/2",)


def test_an_answer_does_not_supersede_an_incarnation_learnt_later():
    """Guards against dropping a router that started during the round.

    `a/3` started after `a/2` had answered and copied its configuration from
    `b/1`, which reports it.
    """
    acceptance = _acceptance("a/2", "b/1")
    _answer(
        acceptance,
        {"a/2": _ack("a/2", 10), "b/1": _ack("b/1", 10, "a/3")},
    )
    assert acceptance.missing() == ("a/3",)
    _answer(acceptance, {})
    assert acceptance.missing() == ("a/3",)


def test_an_answer_under_another_name_supersedes_nothing():
    """Guards against a reused address.

    The address of a replaced VM may now belong to another router.
    """
    acceptance = _acceptance("a/1")
    _answer(acceptance, {"a/1": _ack("b/1", 10)})
    assert acceptance.missing() == ("a/1",)


def test_no_router_at_all_means_nothing_is_missing():
    assert _acceptance().is_accepted()
