# build, test, lint, run: see README.md
BUILD ?= build
JOBS ?= 4
OWN = src/program src/adapters src/routing src/protocol src/transport
OWN_SOURCES = $(wildcard $(addsuffix /*.cpp,$(OWN)) $(addsuffix /*.hpp,$(OWN)) tests/support/*.hpp \
              tests/backend_test.cpp tests/front_test.cpp tests/operation_test.cpp tests/pool_test.cpp tests/protocol_test.cpp tests/service_test.cpp tests/upgrade_test.cpp \
              tests/walk_test.cpp)

.PHONY: build test sanitize lint format run clean

build:
	cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j$(JOBS)

test:
	cmake -S . -B build-test -DCMAKE_BUILD_TYPE=Release -DSTARLINGPOND_TESTS=ON -DSTARLINGPOND_STRICT=ON
	cmake --build build-test -j$(JOBS)
	ctest --test-dir build-test --output-on-failure --timeout 120 -j$(JOBS)

sanitize:
	cmake -S . -B build-sanitize -DCMAKE_BUILD_TYPE=Debug -DSTARLINGPOND_TESTS=ON -DSTARLINGPOND_STRICT=ON \
	    -DSTARLINGPOND_SANITIZE=ON
	cmake --build build-sanitize -j$(JOBS)
	ctest --test-dir build-sanitize --output-on-failure --timeout 240 -j$(JOBS)

lint:
	clang-format --dry-run --Werror $(OWN_SOURCES)

format:
	clang-format -i $(OWN_SOURCES)

# CONFIG=the platform's file, REST=deploy/rest.json to switch the REST front on
run: build
	$(BUILD)/indigovane serve $(if $(CONFIG),--config $(CONFIG)) $(if $(REST),--rest $(REST))

clean:
	rm -rf build build-*
