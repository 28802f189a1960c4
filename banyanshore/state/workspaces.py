"""Whether requests need a key when no workspace is left."""

# Name of a row without keys, which keeps requests without a key out while the table has
# no other row. All releases ask for a key if the table holds any row.
NO_WORKSPACE = ""


def keep_required_keys(rows, rows_in_force):
    """Return a table of workspaces that asks for keys if the one in force does.

    A declaration without workspaces has taken all keys away; it doesn't open the routes
    to everybody.

    >>> keep_required_keys({}, {"w": {"keys": ["k"]}})
    {'': {}}
    >>> keep_required_keys({}, {})
    {}
    """
    if rows_in_force and not rows:
        return {NO_WORKSPACE: {}}
    return rows


def iter_named(rows):
    """Yield the names and rows of the workspaces in a table.

    >>> list(iter_named(keep_required_keys({}, {"w": {}})))
    []
    """
    for name, row in rows.items():
        if name != NO_WORKSPACE or row:
            yield name, row
