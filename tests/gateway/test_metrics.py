"""Metrics of a gateway in the Prometheus text format."""

import subprocess
import sys

import pytest
from prometheus_client.parser import text_string_to_metric_families

from banyanshore.telemetry.gateway import GatewayMetrics
from banyanshore.telemetry.listener import serve_metrics
from tests.ports import free_ports


def test_recorded_values_are_exported():
    metrics = GatewayMetrics()
    metrics.record_request("llm", "answered", 0.12, 0.9)
    metrics.record_request("llm", "answered", 0.3, 9.0)
    metrics.record_request("llm", "refused", None, 0.01)
    metrics.rejected_chunks.inc()
    _, text = metrics.registry.render()
    samples = {
        (sample.name, *sorted(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(text.decode())
        for sample in family.samples
    }
    service = ("service", "llm")
    requests = "banyanshore_gateway_requests_total"
    assert samples[requests, ("outcome", "answered"), service] == 2
    first = "banyanshore_gateway_first_byte_seconds"
    assert samples[f"{first}_bucket", ("le", "0.2"), service] == 1
    assert samples[f"{first}_bucket", ("le", "+Inf"), service] == 2
    assert samples[f"{first}_sum", service] == pytest.approx(0.42)
    assert samples["banyanshore_gateway_request_seconds_count", service] == 3
    assert samples[("banyanshore_rejected_chunks_total",)] == 1


@pytest.mark.parametrize("role", ["gateway", "loader", "control"])
def test_role_imports_no_rarely_needed_library(role):
    """Small instances have 168 MB, and memory is expensive for the users."""
    code = (
        f"import sys, banyanshore.{role}.process\n"
        "print([m for m in ('prometheus_client', 'httpx', 'hypercorn', "
        "'opentelemetry') if m in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.stdout.strip() == "[]", done.stderr


@pytest.mark.anyio
async def test_metrics_are_served():
    import anyio
    import httpx

    (port,) = free_ports(1)
    async with anyio.create_task_group() as tasks:
        address = f"127.0.0.1:{port}"
        tasks.start_soon(serve_metrics, address, GatewayMetrics().registry)
        await anyio.sleep(0.1)
        async with httpx.AsyncClient() as client:
            answer = await client.get(f"http://{address}/metrics")
            assert answer.status_code == 200
            assert answer.headers["content-type"].startswith("text/plain")
            assert (await client.get(f"http://{address}/")).status_code == 404
        tasks.cancel_scope.cancel()
