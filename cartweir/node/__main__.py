"""python -m cartweir.node: one agent, in the foreground, as the environment and EDGE_CONFIG say."""

import signal
import sys

if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the configuration is read below in any case
    from .config import ConfigError, read
    from .daemon import main

    try:
        main(read())
    except ConfigError as error:
        print(f"cartweir.node: {error}", file=sys.stderr)
        sys.exit(1)
    except OSError as error:
        print(
            f"cartweir.node: cannot listen: {error.strerror or error}; EDGE_LISTEN and peer_listen are to be free "
            "addresses of this machine",
            file=sys.stderr,
        )
        sys.exit(1)
