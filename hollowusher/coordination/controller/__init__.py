"""The controller: joins consensus, chain, membership and placement, and serves the operator."""
