"""Bytes of a body stay in order over the blocks that hold them."""

import pytest

from banyanshore.http.body_buffer import BLOCK_BYTES, HEAP_BYTES, BodyBuffer


@pytest.mark.parametrize(
    "size",
    [0, 1, HEAP_BYTES, HEAP_BYTES + 1, HEAP_BYTES + 2 * BLOCK_BYTES, 1_000_000],
)
@pytest.mark.parametrize("piece", [1000, 70_001, 600_000])
def test_body_is_whole_after_pieces_of_any_size(size, piece):
    """Pieces cross the ends of blocks."""
    content = bytes(number % 251 for number in range(size))
    body = BodyBuffer()
    for start in range(0, size, piece):
        body.append(content[start : start + piece])
    assert len(body) == size
    assert body.take() == content
    assert len(body) == 0


def test_cleared_body_begins_anew():
    """Nothing of a body that was refused is left."""
    body = BodyBuffer()
    body.append(bytes(HEAP_BYTES + BLOCK_BYTES + 1))
    body.clear()
    body.append(b"next")
    assert body.take() == b"next"
