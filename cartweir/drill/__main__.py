"""`python -m cartweir.drill`: reads the line protocol on standard input, replies on standard output."""

import gc
import io
import sys

from .adapter import serve
from .wire import WireError


def main() -> int:
    """Serves standard input until its end; returns the exit code."""
    gc.freeze()
    source = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    sink = io.TextIOWrapper(sys.stdout.buffer, encoding="utf-8", newline="\n")
    try:
        serve(source, sink)
    except WireError as error:
        print(f"cartweir.drill: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
