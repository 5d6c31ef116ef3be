"""Delays of the budget protocol; its safety does not depend on them."""

import attrs


@attrs.frozen
class BudgetTiming:
    """Delays in seconds.

    Attributes:
      ask_timeout_s: Wait for one router before the next one is asked. Covers a
        draw and a recall at the asked router.
      ask_expiry_s: Time after which a holder refuses an ask that it could not
        serve.
      append_retry_s: Wait for a witness before the append is repeated.
      append_tries: Unanswered appends after which the witness is replaced.
      recall_wait_s: Wait for the answers of other holders to a recall.
      ledger_poll_s: Interval at which holders read the ledger, where routers
        that can't reach them request budget.
      partition_poll_s: The same interval while a router is suspected and the
        ledger has less free budget than this router holds unused.
      ledger_max_age_s: Age up to which a ledger copy may prove that no budget
        is free.
      kv_backoff_s: Delay after a failed call of the key-value service.
      flush_interval_s: Longest time that a settlement waits for its billing
        batch.
      record_interval_s: Interval at which a holder copies the totals of its
        billing logs to the ledger.
      report_retry_s: Interval at which an entry router repeats a settlement
        that its holder has not confirmed.
      drain_retry_s: The same interval while the entry router drains, whose time
        is limited.
      status_check_interval_s: Interval of status checks for open permits.
      takeover_delay_s: Time for which a holder is suspected before its witness
        takes the grant over.
      idle_timeout_s: Time without new permits after which a grant is closed.
      orphan_window_s: Time for which a permit of a router that is gone waits
        for a retry of its caller before it is billed.
      dedup_retention_s: Time for which a settled keyed request is remembered.
      report_wait_s: Wait for the answers of holders before a report is sent.
    """

    ask_timeout_s: float = 0.8
    ask_expiry_s: float = 0.7
    append_retry_s: float = 0.1
    append_tries: int = 3
    recall_wait_s: float = 0.15
    ledger_poll_s: float = 5.0
    partition_poll_s: float = 0.5
    ledger_max_age_s: float = 0.1
    kv_backoff_s: float = 0.1
    flush_interval_s: float = 2.0
    record_interval_s: float = 10.0
    report_retry_s: float = 5.0
    drain_retry_s: float = 0.5
    status_check_interval_s: float = 10.0
    takeover_delay_s: float = 5.0
    idle_timeout_s: float = 60.0
    orphan_window_s: float = 120.0
    dedup_retention_s: float = 3600.0
    report_wait_s: float = 0.5
