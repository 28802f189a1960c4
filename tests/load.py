"""Send requests at a steady rate and record their outcomes."""

import json
import random
import statistics
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import anyio
import httpx

# The time that the pool of a client needs for a request grows with its number of
# connections. A single client for the whole load would measure mainly itself.
CLIENTS = 48


def make_client(timeout):
    """Return a client that never closes an idle connection on its own.

    With an expiry, the client library can close a connection that it has just assigned
    to a request; see tests/test_load.py.
    """
    return httpx.AsyncClient(
        limits=httpx.Limits(max_connections=None, keepalive_expiry=None),
        timeout=timeout,
        trust_env=False,
        # Loading certificates is slow, and none is needed.
        verify=False,
    )


@dataclass(frozen=True)
class Result:
    """The outcome of one request.

    :param content: the prompt, by which fake targets count runs.
    :param first_seconds: time to the first token, ``None`` without any.
    :param problem: what was wrong, empty for a complete answer.
    :param retry_after: value of the ``Retry-After`` header, empty without it.
    """

    content: str
    sent_at: float
    seconds: float
    first_seconds: float | None
    status: int
    outcome: str
    version: str
    target: str
    problem: str = ""
    retry_after: str = ""

    @property
    def is_refusal(self):
        """Return whether the request was refused with the outcome ``not-run``."""
        return self.outcome == "not-run"


@dataclass
class Load:
    """Send chat requests to several entries at a steady rate.

    :param urls: base URLs of the entries.
    :param rate: requests a second.
    :param follows_retry_after: whether refused requests are sent again after the time
        in ``Retry-After``, if that is before their deadline.
    """

    urls: list
    rate: float
    max_tokens: int = 10
    deadline: float = 10.0
    model: str = "assistant"
    body_of: object = None
    seed: int = 1
    follows_retry_after: bool = False
    results: list = field(default_factory=list)
    # Refusals after which the request was sent again.
    refusals: list = field(default_factory=list)
    stopped: bool = False

    async def run(self, seconds=None):
        """Send until stopped or for some seconds, then wait for the answers."""
        rng = random.Random(self.seed)
        async with AsyncExitStack() as stack:
            clients = [
                await stack.enter_async_context(make_client(self.deadline + 10))
                for _ in range(CLIENTS)
            ]
            tasks = await stack.enter_async_context(anyio.create_task_group())
            began_at = time.monotonic()
            next_at = began_at
            number = 0
            while not self.stopped:
                now = time.monotonic()
                if seconds is not None and now - began_at >= seconds:
                    return
                if now < next_at:
                    await anyio.sleep(next_at - now)
                next_at += rng.expovariate(self.rate)
                url = rng.choice(self.urls)
                client = clients[number % CLIENTS]
                tasks.start_soon(self._send, client, url, f"q{self.seed}-{number}")
                number += 1

    async def _send(self, client, url, content):
        deadline = time.monotonic() + self.deadline
        while True:
            result = await self._send_once(client, url, content)
            retry_after_seconds = float(result.retry_after or "inf")
            is_past_deadline = time.monotonic() + retry_after_seconds >= deadline
            if (
                not self.follows_retry_after
                or not result.is_refusal
                or is_past_deadline
            ):
                self.results.append(result)
                return
            self.refusals.append(result)
            await anyio.sleep(retry_after_seconds)

    async def _send_once(self, client, url, content):
        sent_at = time.monotonic()
        body = {
            "model": self.model,
            "stream": True,
            "max_tokens": self.max_tokens,
            "messages": [{"role": "user", "content": content}],
        }
        first = None
        text = []
        ended = False
        status, outcome, version, target, problem = 0, "", "", "", ""
        retry_after = ""
        try:
            async with client.stream(
                "POST",
                f"{url}/v1/chat/completions",
                json=body,
                headers={"x-deadline-seconds": str(self.deadline)},
            ) as response:
                status = response.status_code
                retry_after = response.headers.get("retry-after", "")
                version = response.headers.get("x-model-version", "")
                target = response.headers.get("x-banyanshore-target", "")
                if status != 200:
                    document = json.loads(await response.aread())
                    outcome = document.get("outcome", "")
                    problem = document.get("reason", "refused")
                else:
                    async for line in response.aiter_lines():
                        if not line.startswith("data: "):
                            continue
                        if first is None:
                            first = time.monotonic() - sent_at
                        if line == "data: [DONE]":
                            ended = True
                        else:
                            event = json.loads(line[6:])
                            if "error" in event:
                                problem = "cut"
                                break
                            text.append(event["choices"][0]["delta"]["content"])
                    problem = problem or self._find_problem(
                        content, text, ended, version
                    )
        except httpx.HTTPError as error:
            problem = f"broken: {error!r}, from {error.__cause__!r}"
        return Result(
            content,
            sent_at,
            time.monotonic() - sent_at,
            first,
            status,
            outcome,
            version,
            target,
            problem,
            retry_after,
        )

    def _find_problem(self, content, text, ended, version):
        if not ended or len(text) != self.max_tokens:
            return f"incomplete answer: {len(text)} tokens"
        for index, token in enumerate(text):
            if token != f"{version}|{content}|{index} ":
                return f"foreign or mixed token {token!r}"
        return ""


def percentile(values, share):
    """Return the percentile of the values for a share between 0 and 1."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarize(results):
    """Return a summary of the results as text."""
    answered = [r for r in results if not r.problem]
    firsts = [r.first_seconds for r in answered]
    if not answered:
        return f"{len(results)} requests, none answered"
    refused = sum(r.is_refusal for r in results)
    return (
        f"{len(results)} requests, {refused} refused for good, "
        f"{len(results) - len(answered) - refused} not answered, "
        f"first token p50 {1000 * statistics.median(firsts):.0f} ms, "
        f"p99 {1000 * percentile(firsts, 0.99):.0f} ms, "
        f"worst {1000 * max(firsts):.0f} ms"
    )
