#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -O2 -g -Wall -Wextra -Wno-missing-field-initializers -I. \
	-DH2O_USE_LIBUV=0 $(pkg-config --cflags glib-2.0 jansson libprotobuf-c)"
libs="$(pkg-config --libs glib-2.0 jansson libprotobuf-c) -lh2o-evloop -lssl \
	-lcrypto -lxxhash -lm"
for name in store worker; do
	gcc $flags -o "$out/$name" "review/standin-2/$name.c" lib/*.c \
		proto/peer.pb-c.c $libs
done
gcc -std=gnu11 -O2 -g -Wall -Wextra -o "$out/keeper" review/standin-2/keeper.c
