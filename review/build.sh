#!/bin/sh
# Builds the stand-ins that the cases start, into review/out. Run it in the
# root of the repository, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/out
FLAGS="-std=gnu11 -O2 -g -Wall -Wextra -Wno-missing-field-initializers -I. \
	-DH2O_USE_LIBUV=0 $(pkg-config --cflags glib-2.0 jansson)"
LIBS="$(pkg-config --libs glib-2.0 jansson) -lh2o-evloop -lssl -lcrypto -lm"
LIB="lib/address.c lib/httpclient.c lib/httpserver.c lib/log.c lib/loop.c \
	lib/schema.c lib/verdict.c"
for c in review/[1-5]/case.c; do
	[ -f "$c" ] || continue
	n=$(basename "$(dirname "$c")")
	cc $FLAGS -o "review/out/case$n" "$c" review/standin/site.c $LIB $LIBS
done
