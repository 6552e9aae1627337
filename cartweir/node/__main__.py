"""Runs one agent in the foreground: `python -m cartweir.node`, configured by `EDGE_CONFIG`."""

import signal
import sys

if __name__ == "__main__":
    # The configuration is read below in any case, so a SIGHUP during the imports needs no further action.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .config import ConfigError, read
    from .daemon import main

    try:
        main(read())
    except ConfigError as error:
        print(f"cartweir.node: {error}", file=sys.stderr)
        sys.exit(1)
    except OSError as error:
        print(
            f"cartweir.node: cannot listen: {error.strerror or error}; "
            "expected EDGE_LISTEN and peer_listen to be free addresses of this machine",
            file=sys.stderr,
        )
        sys.exit(1)
