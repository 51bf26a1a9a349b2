#!/bin/sh
# Plays one case: play.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case couldn't run. Ends all processes that were started.
case_name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/cornelridge ] || [ ! -x target/review-2/standins ]; then
    echo "build first: the build of the deploy file, then review/build-2.sh"
    exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
clean_up() {
    [ -n "${standins:-}" ] && kill -9 "$standins" 2>/dev/null
    for pid in $(cat "$TMPDIR/pids" 2>/dev/null); do
        # Only the programs that this run started.
        if grep -q "cornelridge" "/proc/$pid/cmdline" 2>/dev/null; then
            kill -9 "$pid" 2>/dev/null
        fi
    done
    rm -rf "$TMPDIR"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
target/review-2/standins "$case_name" "$folder" &
standins=$!
waited=0
while kill -0 "$standins" 2>/dev/null; do
    if [ "$waited" -ge 112 ]; then
        echo "the case couldn't run: it took too long"
        exit 2
    fi
    sleep 1
    waited=$((waited + 1))
done
wait "$standins"
status=$?
standins=
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
