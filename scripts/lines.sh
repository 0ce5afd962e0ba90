#!/usr/bin/env bash
# Lines of product and tests, generated code left out of both, and the share of the product
# that is routing, limits, retries, membership, state and recovery.
set -euo pipefail
cd "$(dirname "$0")/.."

KEEPING='router|admitter|retrier|tracker|leaser|heartbeater|claimer|dispatcher|executor|configurer|storer|watcher|quarantiner|locker'
files() { git ls-files '*.go' | grep -v '^shared/gen/'; }
count() { xargs -r cat | wc -l; }

product=$(files | grep -v '_test\.go$' | count)
tests=$(files | grep '_test\.go$' | count)
keeping=$(files | grep -v '_test\.go$' | grep -E "/($KEEPING)/" | count)
echo "product $product, tests $tests ($((100 * tests / (product + tests)))% of the whole; at most 33%)"
echo "routing, limits, retries, membership, state, recovery: $keeping ($((100 * keeping / product))% of the product; at least 25%)"
