# chivegw: make all, make test, make demo, make bench. See README.md.

BUILD ?= build
CC ?= gcc
CXX ?= g++
PACKAGES = libuv json-c argtable2 glib-2.0 openssl libtirpc libxxhash zlib
DEBIAN_PACKAGES = libuv1-dev libhttp-parser-dev libtirpc-dev rpcsvc-proto \
	libjson-c-dev libargtable2-dev libglib2.0-dev libxxhash-dev \
	libssl-dev zlib1g-dev libgtest-dev librapidcheck-dev pkg-config clang-format \
	clang-tidy g++ gcc make curl jq

WARNINGS = -Wall -Wextra -Wshadow -Wstrict-prototypes
OPT ?= -O2 -g
PKG_CFLAGS := $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PACKAGES) 2>/dev/null)
CPPFLAGS += -I. -D_GNU_SOURCE
CFLAGS += -std=gnu11 $(OPT) $(WARNINGS)
CXXFLAGS += -std=gnu++17 $(OPT) -Wall -Wextra
LDLIBS = -lhttp_parser $(PKG_LIBS) -lm

ifeq ($(SANITIZE),1)
SANITIZERS = address,undefined,float-cast-overflow
BUILD := build-sanitize
CFLAGS += -fsanitize=$(SANITIZERS) -fno-omit-frame-pointer
CXXFLAGS += -fsanitize=$(SANITIZERS) -fno-omit-frame-pointer
LDFLAGS += -fsanitize=$(SANITIZERS)
endif

SLICES = admission fleet crash relay exchange config member limit route rollout session order usage backend \
	platform store trace api daemon wire http answer lease
LIB_SRC = $(filter-out daemon/chivegwd.c,$(wildcard *.c) \
	$(foreach s,$(SLICES),$(wildcard $(s)/*.c)))
LIB_SRC := $(filter-out chivegw.c,$(LIB_SRC))
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libchivegw.a

BUILTIN_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard builtin/*.c))
HELPER_SRC = $(wildcard t/helper/*.c)
HELPERS = $(HELPER_SRC:t/helper/%.c=$(BUILD)/t/%)
PRELOADS = $(patsubst t/preload/%.c,$(BUILD)/t/%.so,$(wildcard t/preload/*.c))
UNIT_SRC = $(wildcard t/unit/*.cc)
UNITS = $(UNIT_SRC:t/unit/%.cc=$(BUILD)/t/unit-%)
BENCH_SRC = $(wildcard bench/*.c)
BENCHES = $(BENCH_SRC:bench/%.c=$(BUILD)/bench/%)
SCRIPTS = $(sort $(wildcard t/t[0-9]*.sh))

PROGRAMS = $(BUILD)/chivegwd $(BUILD)/chivegw

# Decisions: no sockets, clocks, loops or global state in these.
TASK_SRC = $(wildcard */*-task.c)
PURE_SLICES = admission fleet crash relay exchange config member limit route rollout session order usage answer \
	lease wire
PURE_SRC = verdict.c rng.c json-check.c json-span.c page-cursor.c backend/placement.c platform/envelope.c $(filter-out $(TASK_SRC), \
	$(foreach s,$(PURE_SLICES),$(wildcard $(s)/*.c)))
PURE_OBJ = $(PURE_SRC:%.c=$(BUILD)/%.o)

# Objects between are kept, or each run would make them again.
.SECONDARY:

.PHONY: all test unit scripts demo bench slopes matrix soak fuzz check-pure \
	format check-format lint deps clean install-deps

all: $(PROGRAMS) $(HELPERS) $(PRELOADS)

$(BUILD)/chivegwd: $(BUILD)/daemon/chivegwd.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/chivegw: $(BUILD)/chivegw.o $(BUILTIN_OBJ) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/t/%: $(BUILD)/t/helper/%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/t/%.so: t/preload/%.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -fPIC -shared -o $@ $< -ldl

$(BUILD)/t/unit-%: $(BUILD)/t/unit/%.o $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(LDFLAGS) -o $@ $^ $(LDLIBS) -lrapidcheck -lgtest \
		-lgtest_main -lpthread

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(LIB): $(LIB_OBJ)
	@rm -f $@
	$(AR) rcs $@ $^

# Committed output of rpcgen declares a buffer that it does not use.
$(BUILD)/wire/peer-xdr.o $(BUILD)/wire/fleet-xdr.o: WARNINGS += -Wno-unused-variable

SOURCES = $(sort $(wildcard *.[ch] $(addsuffix /*.[ch],$(SLICES) builtin)))
$(BUILD)/daemon/version.o: $(SOURCES)
$(BUILD)/daemon/version.o: CPPFLAGS += \
	-DCHIVEGW_BUILD='"$(shell cat $(SOURCES) | sha1sum | cut -c1-12)"'

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) $(PKG_CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) $(PKG_CFLAGS) -MMD -MP -c -o $@ $<

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

# Installs what is missing; on a machine that has all, asks nobody.
install-deps:
	@t/install-deps.sh $(DEBIAN_PACKAGES)

test: install-deps
	@$(MAKE) --no-print-directory run-tests

run-tests: all $(UNITS) check-pure
	@BUILD=$(BUILD) t/run-tests.sh $(UNITS) $(SCRIPTS)

demo: install-deps
	@$(MAKE) --no-print-directory all
	@BUILD=$(BUILD) t/demo.sh

bench: all $(BENCHES)
	@BUILD=$(BUILD) bench/run.sh

slopes: all $(BENCHES)
	@BUILD=$(BUILD) bench/slopes.sh

matrix: $(BUILD)/t/unit-matrix_test all
	@MATRIX=1 $(BUILD)/t/unit-matrix_test
	@BUILD=$(BUILD) t/matrix.sh

SEED ?= 1
SECONDS ?= 60
soak: all
	@BUILD=$(BUILD) t/soak.sh $(SEED) $(SECONDS)
	@BUILD=$(BUILD) t/soak-routes.sh $(SEED) $(SECONDS)

# Fuzzes all that reads bytes from outside; needs clang's runtime library.
FUZZ_SRC = t/fuzz/parsers.c $(PURE_SRC) daemon/settings.c http/address.c \
	http/message.c platform/translate.c
fuzz:
	@t/install-deps.sh clang libclang-rt-14-dev
	@mkdir -p $(BUILD)/fuzz/corpus
	clang -g -O1 -std=gnu11 -fsanitize=fuzzer,address,undefined \
		$(CPPFLAGS) $(PKG_CFLAGS) -o $(BUILD)/fuzz/parsers \
		$(FUZZ_SRC) $(PKG_LIBS) -lm
	$(BUILD)/fuzz/parsers -max_total_time=$(SECONDS) -seed=$(SEED) \
		-max_len=4096 -print_final_stats=1 \
		-artifact_prefix=$(BUILD)/fuzz/ $(BUILD)/fuzz/corpus t/fuzz/corpus

check-pure: $(PURE_OBJ)
	@t/check-pure.sh $(PURE_SRC) -- $(PURE_OBJ)

FORMATTED = $(filter-out wire/peer.h wire/peer-xdr.c wire/fleet.h wire/fleet-xdr.c config/schema.c, \
	$(wildcard *.[ch] */*.[ch] t/helper/*.[ch] t/preload/*.c t/fuzz/*.[ch]))

format:
	@clang-format -i $(FORMATTED)

check-format:
	@clang-format --dry-run --Werror $(FORMATTED)

LINTED = $(filter-out wire/peer-xdr.c wire/fleet-xdr.c,$(LIB_SRC)) daemon/chivegwd.c \
	$(wildcard chivegw.c builtin/*.c)

lint:
	@t/lint.sh "$(CPPFLAGS) -std=gnu11 $(PKG_CFLAGS)" $(LINTED)

clean:
	rm -rf build build-sanitize
