#!/bin/sh
# Fails if the cases of review/ can't be run after the build of
# deploy/system.toml alone: a run.sh that doesn't find its program ends with 2
# and shows nothing.  usage: cases.sh SOURCE
set -eu
source=$1
# DEPLOY.md of the platform allows a build 15 minutes; a case of the review has
# two.
build_max_s=900
case_max_s=120

dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
trap 'exit 1' INT TERM
mkdir "$dir/tmp"
export TMPDIR="$dir/tmp"

fail() {
	echo "failed: $*" >&2
	exit 1
}

# Passes the build line to a shell, with its output in $dir/build.
build() {
	timeout "$build_max_s" sh -c "$line" >"$dir/build" 2>&1 </dev/null || {
		cat "$dir/build" >&2
		fail "the build, $1"
	}
}

# The programs that the run.sh of the cases start.
programs() {
	grep -ho 'target/[a-z0-9/-]*' review/*/run.sh | sort -u
}

# The build $1 leaves all programs but those that match the expression $2, each
# of which it names.
expect_without() {
	for program in $(programs); do
		if echo "$program" | grep -qE "$2"; then
			[ ! -e "$program" ] || fail "$1: $program is there"
			grep "^warning: .*${program#target/}" "$dir/build" ||
				fail "$1: no warning about $program"
		else
			[ -x "$program" ] || fail "$1: no $program"
		fi
	done
}

git clone -q "$source" "$dir/clone"
cd "$dir/clone"
# Changes that are not committed yet are tested as well.
git -C "$source" diff --binary HEAD | git apply --allow-empty
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$line" ] || fail 'deploy/system.toml has no build line'

build 'from a clean clone'
[ "$(programs | wc -l)" -gt 1 ] || fail 'the cases name no programs'
for program in $(programs); do
	[ -x "$program" ] || fail "the build leaves no $program"
done

status=0
TROUBLE=0 timeout "$case_max_s" review/9/run.sh >"$dir/case" 2>&1 || status=$?
cat "$dir/case"
[ "$status" = 0 ] || fail "TROUBLE=0 review/9/run.sh ends with $status"

echo '#error' >>review/bed-2/late.c
build 'with a program that does not compile'
expect_without 'with a program that does not compile' '^target/review-2/late$'
mv test test.away
build 'without test/'
expect_without 'without test/' '^target/review-2/'
mv review review.away
build 'without review/'
[ -x target/daemon/cuminpind ] || fail 'without review/: no daemon'
for program in review/bed review-2/; do
	[ ! -e "target/$program" ] || fail "without review/: target/$program is there"
	grep "^warning: $program" "$dir/build" ||
		fail "without review/: no warning about $program"
done
