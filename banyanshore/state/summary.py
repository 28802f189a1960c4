"""The size and digest of a document, updated from the rows that a patch names."""

import json
import zlib

from banyanshore.core.values import dataclass

_DIGEST_MODULUS = 2**32


@dataclass(frozen=True)
class DocumentSummary:
    """Size and digest of a document, as sums over its rows.

    :param size: bytes of the document as JSON, counting a comma after each row.
    :param digest: number that differs, with near certainty, between documents.
    """

    size: int = 0
    digest: int = 0

    @classmethod
    def of(cls, document):
        """Return the summary of a complete document.

        >>> DocumentSummary.of({"a": {"x": 1}}).size == len('{"a":{"x":1,},}')
        True
        """
        summary = cls(len("{}"))
        for table, rows in document.items():
            summary = summary._plus(_summarize_table(table, rows))
        return summary

    def updated(self, before, after, patch):
        """Return the summary of a patched document.

        :param before: the document that this is the summary of.
        :param after: that document with the patch applied.
        :param patch: the merge patch.
        """
        summary = self
        # Tables that a later release has added are not named by a patch.
        changes_by_table = dict.fromkeys(before.keys() ^ after.keys()) | patch
        for table, changes in changes_by_table.items():
            rows, new_rows = before.get(table), after.get(table)
            if all(isinstance(value, dict) for value in (changes, rows, new_rows)):
                for name in changes:
                    if name in rows:
                        row = _summarize_row(table, name, rows[name])
                        summary = summary._plus(row, -1)
                    if name in new_rows:
                        row = _summarize_row(table, name, new_rows[name])
                        summary = summary._plus(row)
                continue
            if table in before:
                summary = summary._plus(_summarize_table(table, rows), -1)
            if table in after:
                summary = summary._plus(_summarize_table(table, new_rows))
        return summary

    def without(self, document, tables):
        """Return the summary of the document without some of its tables.

        :param document: the document that this is the summary of.
        """
        summary = self
        for table in tables:
            summary = summary._plus(_summarize_table(table, document[table]), -1)
        return summary

    def _plus(self, other, sign=1):
        return DocumentSummary(
            self.size + sign * other.size,
            (self.digest + sign * other.digest) % _DIGEST_MODULUS,
        )


def _summarize_table(table, rows):
    if not isinstance(rows, dict):
        return _summarize_row(table, table, rows)
    summary = _summarize_row(table, table, {})
    for name, row in rows.items():
        summary = summary._plus(_summarize_row(table, name, row))
    return summary


def _summarize_row(table, name, row):
    data = _encode({name: row}).encode()
    digest = zlib.crc32(data, zlib.crc32(table.encode()))
    # A comma instead of two braces.
    return DocumentSummary(len(data) - 1, digest)


# Creating the encoder takes longer than encoding a row.
_encode = json.JSONEncoder(separators=(",", ":"), sort_keys=True).encode
