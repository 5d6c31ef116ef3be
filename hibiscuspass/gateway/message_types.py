"""Types of the messages that gateways send or receive without a handler."""

from hibiscuspass.core import config_copy
from hibiscuspass.core import list_copy
from hibiscuspass.core.forwarding import messages as forwarding_messages
from hibiscuspass.core.prepaid import messages as prepaid_messages

WITHOUT_HANDLER = (
    prepaid_messages.Borrow,
    prepaid_messages.Lent,
    prepaid_messages.Accepted,
    prepaid_messages.AskAge,
    prepaid_messages.Age,
    forwarding_messages.Load,
    forwarding_messages.Noted,
    forwarding_messages.Permit,
    forwarding_messages.Proof,
    config_copy.OperatorConfigCopy,
    list_copy.EntriesCopy,
)
