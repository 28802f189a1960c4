"""The ASGI application of an entry."""

import logging

from banyanshore.http.asgi import BodyRefusedError, Problem, make_application

logger = logging.getLogger(__name__)


def make_api_application(apis):
    """Return an ASGI application that serves the requests of some APIs."""

    async def handle(request):
        for api in apis:
            if api.handles(request):
                await _handle_or_refuse(api, request)
                return
        await request.respond_problem(
            Problem(404, "Not found", f"there is nothing at {request.path}", "not-run")
        )

    return make_application(handle)


async def _handle_or_refuse(api, request):
    try:
        await api.handle(request)
    except BodyRefusedError as error:
        logger.info(
            "request refused before its body was complete", extra={"why": error.title}
        )
        await request.respond_problem(
            Problem(503, error.title, "the body was not complete", "not-run", 1.0)
        )
