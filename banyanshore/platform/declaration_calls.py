"""Read the declaration in force from a control instance, and recognise declarations."""

import httpx

from banyanshore.core.exceptions import UnavailableError
from banyanshore.platform.declaration import decode_declaration

_CONFIG_PATH = "/api/config"


def is_declaration(document):
    """Return whether a JSON object is a declaration in the platform's format.

    >>> is_declaration({"version": 7, "routes": [], "backends": []})
    True
    >>> is_declaration({"routes": {}})
    False
    """
    return "backends" in document or isinstance(document.get("routes"), list)


def fetch_tables(url, timeout):
    """Return the number and the tables of the declaration in force.

    :param url: base URL of a control instance.
    :param timeout: seconds to wait for the answer.
    :raises UnavailableError: it can't be reached, or knows no declaration.
    :raises DecodeError: the answer isn't a declaration.
    """
    try:
        response = httpx.get(
            f"{url}{_CONFIG_PATH}",
            timeout=timeout,
            trust_env=False,
            follow_redirects=True,
        )
        response.raise_for_status()
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        raise UnavailableError(
            f"no declaration from {url}: {error or type(error).__name__}", step="read"
        ) from None
    return decode_declaration(response.content)
