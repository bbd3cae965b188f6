# Runs a case: case.sh CASE FOLDER-OF-THE-CASE. Ends all processes that it started.
root=$(cd "$2/../.." && pwd)
record="$root/review/$(basename "$2")/record.txt"
cd "$root" || exit 2
[ -x target/release/bulrushtrestled ] && [ -x target/review-2/review-2 ] || {
    echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
}
folder=$(mktemp -d) || exit 2
timeout 118 target/review-2/review-2 "$1" "$folder" "$record"
code=$?
for file in "$folder"/*.pid; do
    [ -e "$file" ] && kill -9 "$(cat "$file")"
done
rm -rf "$folder"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
