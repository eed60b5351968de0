# `chalksail-edge check`: a good file is good; a bad one is refused with file, line and a suggestion, and does not serve.
set -eu
edge=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat > "$work/good.kdl" <<'K'
class "chat" { aim "1s"; deadline "4s"; }
kind "prefill" { role "prefill"; }
K
"$edge" check "$work/good.kdl" | grep -q ': good: 1 classes'
cat > "$work/bad.kdl" <<'K'
class "chat" { aim "1s"; dedline "4s"; }
kind "prefill" { role "prefill"; }
K
for command in check serve; do
    if "$edge" "$command" "$work/bad.kdl" 2> "$work/said"; then exit 1; fi
    grep -q "bad.kdl:1:26: unknown setting 'dedline' in class 'chat'; did you mean 'deadline'?" "$work/said"
done
if "$edge" check "$work/none.kdl" 2> "$work/said"; then exit 1; fi
grep -q "can't be read" "$work/said"
