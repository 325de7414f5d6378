#!/usr/bin/env bash
# Runs the formatter and the linter over the project's own files.
# scripts/check-style.sh BUILD_FOLDER [FILE...]; without files, all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '\.capnp\.')
fi
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$' || true)
# A stamp per file and content keeps local runs short; a fresh clone has none.
stamps="$folder/lint-stamps"
mkdir -p "$stamps"
lint() {
  local file=$1 stamp
  stamp="$2/$(cat "$file" .clang-tidy $(git ls-files --cached --others --exclude-standard 'libraries/*.h' 'tests/*.h') | sha256sum | cut -c1-32)"
  [ -e "$stamp" ] && return 0
  clang-tidy --quiet -p "$3" "$file" >"$stamp.log" 2>/dev/null && { rm -f "$stamp.log"; touch "$stamp"; return 0; }
  echo "clang-tidy: $file"
  cat "$stamp.log"
  rm -f "$stamp.log"
  return 1
}
export -f lint
printf '%s\0' "${sources[@]}" | xargs -0 -P "${OLEANDERTIDE_JOBS:-$(nproc)}" -I{} bash -c 'lint "$1" "$2" "$3"' _ {} "$stamps" "$folder"
echo "style: ${#files[@]} files checked"
