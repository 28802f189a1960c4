"""The process that answers callers and operators."""
