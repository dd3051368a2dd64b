#!/bin/sh
# Builds the programs of the third review's cases, with the stand-ins of
# test/soak that they use, into the folder that review/bed-3/env.sh names.  To
# be run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
. review/bed-3/env.sh

mkdir -p "$BED_3"
shared='review/bed-3/bed3.c review/bed-3/minions.c review/bed-3/machines.c test/soak/store.c test/soak/workers.c
test/soak/http_server.c test/soak/trace.c'
libraries='glib-2.0 jansson libmicrohttpd liburcu-memb liburcu-cds apr-1'
for source in review/bed-3/*.c; do
	name=$(basename "$source" .c)
	case $name in bed3 | machines | minions) continue ;; esac
	# shellcheck disable=SC2046,SC2086
	${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra \
		-Wno-missing-field-initializers -Ibase -Itest/soak \
		-Ireview/bed-3 "$source" $shared $(pkg-config --cflags $libraries) \
		$(pkg-config --libs glib-2.0 jansson libmicrohttpd) -pthread -lm \
		-o "$BED_3/$name.new"
	mv "$BED_3/$name.new" "$BED_3/$name"
done
