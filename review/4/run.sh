#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD"
exec python3 "$folder/trial.py"
