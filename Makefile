# make demo: build, run the main job on loopback stand-ins, show it.
# make check: build, format, lint, unit and process tests.

CC = gcc
CLANG = clang-14
OUT = out
PKGS = glib-2.0 jansson libprotobuf-c
# some compilers fuse multiply-adds on arm64, which rounds estimates differently
FP_FLAGS = -ffp-contract=off
CFLAGS = -std=gnu11 -O2 -g -Wall -Wextra -Werror -Wno-missing-field-initializers \
	$(FP_FLAGS) -I. -DH2O_USE_LIBUV=0 $(shell pkg-config --cflags $(PKGS)) $(EXTRA)
LIBS = $(shell pkg-config --libs $(PKGS)) -lh2o-evloop -lssl -lcrypto -lxxhash -lm
GSL = $(shell pkg-config --libs gsl)

LIB = $(wildcard lib/*.c) proto/peer.pb-c.c
SCHED = $(wildcard sched/*.c config/*.c)
JOINT = $(wildcard platform/*.c lead/*.c entry/*.c peer/*.c)
DAEMON = $(filter-out daemon/main.c,$(wildcard daemon/*.c)) $(JOINT)
REPORT = $(wildcard report/*.c)
CTL = $(wildcard ctl/*.c) $(REPORT)

obj = $(patsubst %.c,$(OUT)/obj/%.o,$(1))

PROGRAMS = lacewingd lacewingctl platform worker joint cutter load model
BINARIES = $(addprefix $(OUT)/,$(PROGRAMS))
SOURCES = $(filter-out proto/%,$(wildcard */*.c)) $(wildcard */*.h)

# preloaded by the process tests
REROUTE = $(OUT)/reroute.so

UNIT_TESTS = $(patsubst test/%.c,$(OUT)/%,$(wildcard test/unit_*.c))

all: $(BINARIES) $(REROUTE)

lacewingd: $(OUT)/lacewingd

$(OUT)/obj/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC    $<"
	@$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

# sched/duration.c and report/ need it
$(OUT)/lacewingd $(OUT)/lacewingctl $(OUT)/model $(UNIT_TESTS): LIBS += $(GSL)
$(OUT)/lacewingd: $(call obj,daemon/main.c $(DAEMON) $(SCHED) $(LIB))
$(OUT)/lacewingctl: $(call obj,$(CTL) $(SCHED) $(LIB))
$(OUT)/platform: $(call obj,fake/platform.c $(LIB))
$(OUT)/worker: $(call obj,fake/worker.c $(LIB))
$(OUT)/joint: $(call obj,fake/joint.c fake/jointrecord.c fake/jointstore.c \
	fake/jointupstream.c $(LIB))
$(OUT)/cutter: $(call obj,fake/cutter.c $(LIB))
$(OUT)/load: $(call obj,load/load.c $(LIB))
$(OUT)/model: $(call obj,load/model.c load/play.c $(SCHED) $(LIB))

$(BINARIES):
	@echo "  LINK  $@"
	@$(CC) -o $@ $^ $(LIBS)

$(REROUTE): fake/reroute.c
	@mkdir -p $(@D)
	@echo "  LINK  $@"
	@$(CC) $(CFLAGS) -fPIC -shared -o $@ $<

-include $(wildcard $(OUT)/obj/*/*.d)

TEST_OBJS = $(call obj,test/site.c test/judge.c test/jointsite.c test/grown.c \
	test/copyfaults.c $(LIB))
PROC_TESTS = $(patsubst test/%.c,$(OUT)/%,$(wildcard test/proc_*.c))

$(OUT)/unit_%: $(OUT)/obj/test/unit_%.o $(call obj,$(DAEMON) $(SCHED) $(LIB))
	@echo "  LINK  $@"
	@$(CC) -o $@ $^ $(LIBS) -lcmocka

$(OUT)/unit_report: $(call obj,$(REPORT))
$(OUT)/unit_contact: $(call obj,test/callworld.c)
$(OUT)/unit_session $(OUT)/unit_presumed $(OUT)/unit_calls: \
	$(call obj,test/sessionsite.c)

$(OUT)/proc_%: $(OUT)/obj/test/proc_%.o $(TEST_OBJS)
	@echo "  LINK  $@"
	@$(CC) -o $@ $^ $(LIBS) -lcmocka

unit-tests: $(UNIT_TESTS)

tests: unit-tests $(PROC_TESTS)

.SECONDARY:

FUZZ_CC = $(CLANG) -std=gnu11 -O1 -g $(FP_FLAGS) -I. \
	-fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined
FUZZ_RUNS = 15000
FUZZ_SEED = 7
# a run of the report's fuzz reads up to 500 records
FUZZ_REPORT_RUNS = 1500

$(OUT)/fuzz_sched: test/fuzz_sched.c $(wildcard sched/*.c sched/*.h)
	@mkdir -p $(OUT)
	@echo "  FUZZ  $@"
	@$(FUZZ_CC) \
		$(shell pkg-config --cflags glib-2.0 gsl) -o $@ $(filter %.c,$^) \
		$(shell pkg-config --libs glib-2.0 gsl) -lm

$(OUT)/fuzz_report: test/fuzz_report.c $(REPORT) $(wildcard sched/*.c) \
		lib/schema.c lib/address.c
	@mkdir -p $(OUT)
	@echo "  FUZZ  $@"
	@$(FUZZ_CC) \
		-DH2O_USE_LIBUV=0 \
		$(shell pkg-config --cflags glib-2.0 jansson gsl) -o $@ $^ \
		$(shell pkg-config --libs glib-2.0 jansson gsl) -lxxhash -lm

# a run gives one document to each decoder
FUZZ_ROWS_RUNS = 6000
FUZZ_ROWS = test/fuzz_rows.c platform/answer.c platform/decode.c platform/lists.c \
	platform/rows.c lead/learned.c lead/record.c lead/replica.c peer/roster.c \
	config/policy.c sched/duration.c sched/ending.c sched/estimator.c \
	sched/fleet.c sched/footprint.c sched/job.c \
	sched/occurrence.c sched/progress.c sched/suspect.c sched/text.c \
	lib/address.c lib/counter.c lib/log.c lib/loop.c lib/schema.c lib/verdict.c

$(OUT)/fuzz_rows: $(FUZZ_ROWS)
	@mkdir -p $(OUT)
	@echo "  FUZZ  $@"
	@$(FUZZ_CC) \
		-DH2O_USE_LIBUV=0 \
		$(shell pkg-config --cflags glib-2.0 jansson gsl) -o $@ $^ \
		$(shell pkg-config --libs glib-2.0 jansson gsl) -lh2o-evloop -lssl \
		-lcrypto -lm

FUZZ_CALLS_RUNS = 150000

$(OUT)/fuzz_calls: test/fuzz_calls.c test/callworld.c lead/contact.c
	@mkdir -p $(OUT)
	@echo "  FUZZ  $@"
	@$(FUZZ_CC) $(shell pkg-config --cflags glib-2.0) -o $@ $^ \
		$(shell pkg-config --libs glib-2.0)

fuzz: $(OUT)/fuzz_sched $(OUT)/fuzz_report $(OUT)/fuzz_rows $(OUT)/fuzz_calls
	$(OUT)/fuzz_calls -seed=$(FUZZ_SEED) -runs=$(FUZZ_CALLS_RUNS) -max_len=600 \
		-len_control=0 -artifact_prefix=$(OUT)/ >$(OUT)/fuzz.log 2>&1 || \
		{ tail -n 40 $(OUT)/fuzz.log; exit 1; }
	$(OUT)/fuzz_rows -seed=$(FUZZ_SEED) -runs=$(FUZZ_ROWS_RUNS) -max_len=100 \
		-len_control=0 -artifact_prefix=$(OUT)/ >$(OUT)/fuzz.log 2>&1 || \
		{ tail -n 40 $(OUT)/fuzz.log; exit 1; }
	$(OUT)/fuzz_report -seed=$(FUZZ_SEED) -runs=$(FUZZ_REPORT_RUNS) -max_len=2000 \
		-len_control=0 -dict=test/fuzz_report.dict \
		-artifact_prefix=$(OUT)/ >$(OUT)/fuzz.log 2>&1 || \
		{ tail -n 40 $(OUT)/fuzz.log; exit 1; }
	$(OUT)/fuzz_sched -seed=$(FUZZ_SEED) -runs=$(FUZZ_RUNS) -max_len=600 \
		-len_control=0 -print_final_stats=1 -artifact_prefix=$(OUT)/ \
		>$(OUT)/fuzz.log 2>&1 || { tail -n 40 $(OUT)/fuzz.log; exit 1; }
	@grep number_of_executed_units $(OUT)/fuzz.log

FORMATTED = $(filter-out proto/%,$(wildcard */*.c */*.h))
LINTED = $(filter-out proto/%,$(wildcard */*.c))

format:
	clang-format-14 -i $(FORMATTED)

lint:
	@echo "  FORMAT"
	@clang-format-14 --dry-run -Werror $(FORMATTED)
	@echo "  LINT"
	@printf '%s\n' $(LINTED) | xargs -P 8 -n 2 sh -c \
		'clang-tidy-14 --quiet "$$@" -- $(CFLAGS) 2>/dev/null' _

# what h2o does with memory of ours cannot be seen by a sanitizer
MEMCHECK = valgrind -q --error-exitcode=9
# as many at a time as test/run.sh runs
MEMCHECK_JOBS = 4

memcheck: $(UNIT_TESTS)
	@echo "  MEMCHECK"
	@printf '%s\n' $(filter-out %unit_lib,$(UNIT_TESTS)) | \
		STARVE_SITES=30 xargs -P $(MEMCHECK_JOBS) -I {} sh -c \
		'$(MEMCHECK) {} >{}.memcheck 2>&1 || \
			{ cat {}.memcheck; exit 1; }'
	@TEST_FILTER='a_*' $(MEMCHECK) $(OUT)/unit_lib >$(OUT)/memcheck.log \
		2>&1 || { cat $(OUT)/memcheck.log; exit 1; }

# char is signed on x86-64 and unsigned on arm64: test what this one is not
OTHER_CHAR = $(shell $(CC) -dM -E -x c /dev/null | \
	grep -q __CHAR_UNSIGNED__ && echo -fsigned-char || echo -funsigned-char)

char-sign:
	@echo "  CHAR  $(OTHER_CHAR)"
	@$(MAKE) --no-print-directory OUT=$(OUT)/char \
		EXTRA="$(OTHER_CHAR) -O0" -j$(JOBS) unit-tests
	@for t in $(UNIT_TESTS:$(OUT)/%=$(OUT)/char/%); do \
		$$t >$(OUT)/char.log 2>&1 || \
			{ cat $(OUT)/char.log; exit 1; }; done

packages:
	@sh .ci/install

# builds use all processors; what is timed runs after them
JOBS = $(shell nproc)

check:
	@$(MAKE) --no-print-directory -j$(JOBS) all tests
	@$(MAKE) --no-print-directory lint
	@$(MAKE) --no-print-directory -j2 fuzz memcheck
	@$(MAKE) --no-print-directory char-sign
	test/run.sh 4 $(UNIT_TESTS) $(PROC_TESTS)

demo: packages
	@$(MAKE) --no-print-directory -j8 all
	@sh fake/demo.sh

# the tables of docs/MEASURED.md and the slopes of docs/CAPACITY.md
measure: all
	$(OUT)/model mix --deployment barsha --seeds 20
	$(OUT)/model mix --deployment midlands --seeds 20
	sh load/latency.sh 2000

capacity: all
	sh load/capacity.sh

clean:
	rm -rf $(OUT)

# the process tests link the library; the fuzz is built by clang alone
.PHONY: all lacewingd unit-tests tests char-sign fuzz memcheck format lint packages check demo measure capacity clean
