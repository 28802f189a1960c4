"""Record a span for each hop and propagate the W3C trace context.

Without a trace file no span is recorded and the SDK is not imported, but the trace
context is still propagated.
"""

import json
import os
import secrets
from contextlib import contextmanager

from banyanshore.core.logs import trace_id_var
from banyanshore.core.values import dataclass

_HEX_DIGITS = frozenset("0123456789abcdef")
_FLAGS = "01"


@dataclass(frozen=True)
class TraceContext:
    """Identify the trace and the parent span of a hop.

    :param trace_id: 32 hexadecimal digits.
    :param span_id: 16 hexadecimal digits.
    """

    trace_id: str
    span_id: str

    @property
    def traceparent(self):
        """Return the value of the W3C ``traceparent`` header."""
        return f"00-{self.trace_id}-{self.span_id}-{_FLAGS}"


def parse_traceparent(value):
    """Return the :class:`TraceContext` in a header, or a new one if it is invalid.

    >>> header = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"
    >>> parse_traceparent(header).span_id
    'bbbbbbbbbbbbbbbb'
    """
    parts = value.strip().lower().split("-")
    if len(parts) >= 4 and len(parts[1]) == 32 and len(parts[2]) == 16:
        digits = set(parts[1] + parts[2])
        if digits <= _HEX_DIGITS and set(parts[1]) != {"0"} and set(parts[2]) != {"0"}:
            return TraceContext(parts[1], parts[2])
    return TraceContext(secrets.token_hex(16), secrets.token_hex(8))


class Tracer:
    """Write spans to a file as JSON lines.

    :param instance: name of the instance.
    :param data_centre: its data centre.
    :param path: file to append to; empty: no spans are recorded.
    """

    def __init__(self, instance, data_centre, path=""):
        self._tracer = None
        self._provider = None
        if path:
            self._open(instance, data_centre, path)

    def _open(self, instance, data_centre, path):
        from opentelemetry.sdk.resources import Resource
        from opentelemetry.sdk.trace import TracerProvider
        from opentelemetry.sdk.trace.export import (
            BatchSpanProcessor,
            ConsoleSpanExporter,
        )

        resource = Resource(
            {
                "service.name": "banyanshore",
                "service.instance.id": instance,
                "cloud.availability_zone": data_centre,
            }
        )
        stream = open(path, "a", encoding="utf-8")  # noqa: SIM115
        exporter = ConsoleSpanExporter(out=stream, formatter=_format_span)
        self._provider = TracerProvider(resource=resource)
        self._provider.add_span_processor(
            BatchSpanProcessor(exporter, schedule_delay_millis=500)
        )
        self._tracer = self._provider.get_tracer("banyanshore")

    @contextmanager
    def span(self, name, traceparent, **attributes):
        """Record a span around a block.

        :param traceparent: header received from the previous hop.
        :return: the header to send to the next hop.
        """
        context = parse_traceparent(traceparent)
        token = trace_id_var.set(context.trace_id)
        try:
            if self._tracer is None:
                yield context.traceparent
            else:
                with self._start(name, context, attributes) as span:
                    ids = span.get_span_context()
                    yield TraceContext(
                        f"{ids.trace_id:032x}", f"{ids.span_id:016x}"
                    ).traceparent
        finally:
            trace_id_var.reset(token)

    def _start(self, name, context, attributes):
        from opentelemetry import trace

        parent = trace.NonRecordingSpan(
            trace.SpanContext(
                int(context.trace_id, 16),
                int(context.span_id, 16),
                is_remote=True,
                trace_flags=trace.TraceFlags(1),
            )
        )
        return self._tracer.start_as_current_span(
            name, context=trace.set_span_in_context(parent), attributes=attributes
        )

    def close(self):
        """Write the spans that are still buffered."""
        if self._provider is not None:
            self._provider.shutdown()


def _format_span(span):
    return json.dumps(json.loads(span.to_json(indent=None))) + os.linesep
