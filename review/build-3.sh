#!/bin/sh
# Builds the stand-ins of review/11 to 15 into target/, after the build of the
# deploy file: make -j8 OUT=target lacewingd
set -e
cd "$(dirname "$0")/.."
make -j8 OUT=target target/joint target/cutter
mkdir -p target/review-3
packages="glib-2.0 jansson libprotobuf-c"
for name in storelimits worker; do
	gcc -std=gnu11 -O2 -Wall -Wextra -Wno-missing-field-initializers -I. \
		-DH2O_USE_LIBUV=0 $(pkg-config --cflags $packages) \
		-o target/review-3/$name review/standin-3/$name.c \
		target/obj/lib/*.o target/obj/proto/peer.pb-c.o \
		$(pkg-config --libs $packages) -lh2o-evloop -lssl -lcrypto \
		-lxxhash -lm
done
