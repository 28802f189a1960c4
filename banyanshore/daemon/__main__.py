"""Entry point of the daemon: hold signals back, then import and run the rest."""

from banyanshore.daemon.signals import hold_signals

# The imports take a large part of the start, and signals may come during them.
hold_signals()

from banyanshore.daemon.run import main  # noqa: E402

if __name__ == "__main__":
    main()
