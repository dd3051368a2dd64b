#!/bin/sh
# Builds the stand-ins of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -o target/review/bed \
  review/bed.c review/cases.c review/http.c review/store.c review/minions.c \
  $(pkg-config --cflags --libs glib-2.0 jansson) -pthread
