"""A stand-in for the copies of news that targets leave."""


class KeptCopies:
    """Keep any news at once, without a disk."""

    def request(self):
        return

    async def are_enough(self, update, addresses):
        return True
