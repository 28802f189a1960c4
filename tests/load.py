"""Send requests at a steady rate and record how each one ended."""

import json
import random
import statistics
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import anyio
import httpx

# The pool of a client takes time with each request that grows with all it holds, so
# that one client for a whole load would measure itself.
CLIENTS = 48


def make_client(timeout):
    """Return a client that never closes an idle connection on its own.

    With an expiry the client library can close a connection that it has just given to
    a request: tests/test_load.py.
    """
    return httpx.AsyncClient(
        limits=httpx.Limits(max_connections=None, keepalive_expiry=None),
        timeout=timeout,
        trust_env=False,
        # Loading certificates takes long, and none is needed.
        verify=False,
    )


@dataclass(frozen=True)
class Result:
    """One request.

    :param content: what was asked, which targets count their runs by.
    :param first_seconds: time to the first token, ``None`` without any.
    :param problem: what was wrong, empty for a whole answer.
    :param retry_after: value of that header, empty without it.
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
        """Tell whether the caller was told that its request has not run."""
        return self.outcome == "not-run"


@dataclass
class Load:
    """Chats at a steady rate, over several entries.

    :param urls: base URLs of the entries.
    :param rate: requests a second.
    :param comes_back: whether a caller that is told when to come back does so, as long
        as its deadline allows.
    """

    urls: list
    rate: float
    max_tokens: int = 10
    deadline: float = 10.0
    model: str = "assistant"
    body_of: object = None
    seed: int = 1
    comes_back: bool = False
    results: list = field(default_factory=list)
    # Refusals after which the caller came back.
    refusals: list = field(default_factory=list)
    stopped: bool = False

    async def run(self, seconds=None):
        """Send until stopped, or for some seconds, then wait for the answers."""
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
            wait = float(result.retry_after or "inf")
            is_over = time.monotonic() + wait >= deadline
            if not self.comes_back or not result.is_refusal or is_over:
                self.results.append(result)
                return
            self.refusals.append(result)
            await anyio.sleep(wait)

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
                    problem = problem or self._check(content, text, ended, version)
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

    def _check(self, content, text, ended, version):
        if not ended or len(text) != self.max_tokens:
            return f"not whole: {len(text)} tokens"
        for index, token in enumerate(text):
            if token != f"{version}|{content}|{index} ":
                return f"foreign or mixed token {token!r}"
        return ""


def percentile(values, share):
    """Return the value that a share of the values doesn't exceed."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarize(results):
    """Return the figures of some results as text."""
    good = [r for r in results if not r.problem]
    firsts = [r.first_seconds for r in good]
    if not good:
        return f"{len(results)} requests, none answered"
    refused = sum(r.is_refusal for r in results)
    return (
        f"{len(results)} requests, {refused} refused for good, "
        f"{len(results) - len(good) - refused} not answered, "
        f"first token p50 {1000 * statistics.median(firsts):.0f} ms, "
        f"p99 {1000 * percentile(firsts, 0.99):.0f} ms, "
        f"worst {1000 * max(firsts):.0f} ms"
    )
