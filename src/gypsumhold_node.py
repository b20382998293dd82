"""Runs `gypsumhold-node` from a checkout, without installing the package."""

import sys

from gypsumhold.programs import node

sys.exit(node.main())
