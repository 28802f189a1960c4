"""An agent that is a real process delivers its last replies before it ends."""

from signal import SIGTERM

from tests.stopping.raw_callers import RawCaller
from tests.stopping.test_entry import RECEIVE_BUFFER, start

STOP_TIMEOUT = 15.0
# Larger than what the entry and the system hold.
PADDING = 24_000_000


def test_answer_that_the_agent_still_holds_reaches_a_slow_caller():
    """The agent waited for its target, not for the replies that were not sent yet."""
    with start(agent_options={"stop_timeout": STOP_TIMEOUT}) as deployment:
        caller = RawCaller(
            deployment.http_port["entry-1"], RECEIVE_BUFFER, bytes_per_second=5_000_000
        )
        caller.ask("GET", "/services/orders/items/a", headers=[f"x-padding: {PADDING}"])
        assert caller.began.wait(5)
        process = deployment.processes["orders-0"]
        process.signal(SIGTERM)
        code = process.process.wait(STOP_TIMEOUT + 5)
        caller.wait()
        assert (caller.status, caller.error) == (200, ""), len(caller.received)
        assert code == 0
