"""Run benchmarks by name, save their reports, and check their bounds."""

import importlib
import pkgutil
import sys

import benchmarks

# Modules of the package that aren't benchmarks.
HELPER_MODULES = {
    "__main__",
    "report",
    "baselines",
    "gateway_surroundings",
    "link_model",
    "service_model",
    "usage",
}


def benchmark_names():
    """Return the names of all benchmarks."""
    modules = pkgutil.iter_modules(benchmarks.__path__)
    return sorted(
        module.name for module in modules if module.name not in HELPER_MODULES
    )


def main():
    """Run the named benchmarks or all of them; exit with 1 if a bound doesn't hold."""
    holds = True
    for name in sys.argv[1:] or benchmark_names():
        module = importlib.import_module(f"benchmarks.{name}")
        report = module.run()
        report.save()
        print(report.to_markdown(), flush=True)
        holds = holds and report.holds
    sys.exit(0 if holds else 1)


if __name__ == "__main__":
    main()
