#!/bin/sh
# Builds the programs of the cases of the second review into target/review-2/.
# Run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
cflags="-std=gnu11 -O1 -g -Wall -Wextra -Wno-missing-field-initializers
-D_GNU_SOURCE -Ibase -Itest/soak -Ireview/bed-2
$(pkg-config --cflags glib-2.0 libmicrohttpd jansson liburcu apr-1)"
libs="$(pkg-config --libs glib-2.0 libmicrohttpd jansson liburcu) -lpthread -lm"
shared="review/bed-2/bed2.c review/bed-2/store2.c test/soak/workers.c
test/soak/trace.c review/bed-2/http2.c"
for source in review/bed-2/*.c; do
	name=$(basename "$source" .c)
	case $name in bed2 | store2 | http2) continue ;; esac
	# shellcheck disable=SC2086
	${CC:-gcc} $cflags -o "$out/$name.new" "$source" $shared $libs
	mv "$out/$name.new" "$out/$name"
done
