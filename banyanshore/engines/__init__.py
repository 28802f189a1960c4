"""Provide one interface to targets: model engines and plain services."""

from banyanshore.engines.base import (
    Engine,
    EngineError,
    EngineHealth,
    EngineInvalidAnswerError,
    EngineRefusedError,
    EngineUnreachableError,
    LoadOrder,
)
from banyanshore.engines.http import HttpModelEngine, HttpPlainService, make_engine

__all__ = [
    "Engine",
    "EngineError",
    "EngineHealth",
    "EngineInvalidAnswerError",
    "EngineRefusedError",
    "EngineUnreachableError",
    "HttpModelEngine",
    "HttpPlainService",
    "LoadOrder",
    "make_engine",
]
