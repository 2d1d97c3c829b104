find_package(Threads REQUIRED)

# The thread sanitizer does not support the fences that Boost.Asio puts around handlers, and g++ refuses them with it.
# The sanitizer then sees only the locks of Boost.Asio, which makes its check stricter.
if(SHALLOTCOVE_SANITIZE STREQUAL "thread")
    add_compile_definitions(BOOST_ASIO_DISABLE_FENCED_BLOCK)
endif()

# Without this flag, linked libraries that a program does not use would be loaded at each start.
add_link_options(-Wl,--as-needed)

# Compiler and sanitizer flags shared by every target.
function(shallotcove_target_options target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Werror)
    if(SHALLOTCOVE_SANITIZE)
        target_compile_options(${target} PRIVATE -fsanitize=${SHALLOTCOVE_SANITIZE} -fno-omit-frame-pointer)
        target_link_options(${target} PRIVATE -fsanitize=${SHALLOTCOVE_SANITIZE})
    endif()
    # GCC warns about the fences of Boost.Asio because the thread sanitizer does not model them. Handlers are also
    # ordered by the mutex of their io_context, which the sanitizer does model.
    if(SHALLOTCOVE_SANITIZE STREQUAL "thread")
        target_compile_options(${target} PRIVATE -Wno-tsan)
    endif()
endfunction()

# Adds the static library shallotcove_<name>, alias shallotcove::<name>, from every *.cpp of DIR, by default
# src/<name>, that is neither a test (x_test.cpp), a benchmark (x_bench.cpp) nor a program (x_main.cpp).
# Adds the Criterion program <name>_test from the x_test.cpp files, if there are any, and one plain program, which
# returns 0 on success, for each x_thread_test.cpp. With the thread sanitizer only the plain programs are built:
# Criterion 2.4.1 cannot map its arena there ("Could not initialize inheritable arena").
function(shallotcove_package name)
    cmake_parse_arguments(arg "" "DIR" "LINK" ${ARGN})
    set(dir ${PROJECT_SOURCE_DIR}/src/${name})
    if(arg_DIR)
        set(dir ${arg_DIR})
    endif()
    file(GLOB sources CONFIGURE_DEPENDS ${dir}/*.cpp)
    set(tests ${sources})
    list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
    set(thread_tests ${tests})
    list(FILTER tests EXCLUDE REGEX "_thread_test\\.cpp$")
    list(FILTER thread_tests INCLUDE REGEX "_thread_test\\.cpp$")
    list(FILTER sources EXCLUDE REGEX "_(test|bench|main)\\.cpp$")
    add_library(shallotcove_${name} STATIC ${sources})
    add_library(shallotcove::${name} ALIAS shallotcove_${name})
    target_include_directories(shallotcove_${name} PUBLIC ${PROJECT_SOURCE_DIR}/include)
    target_link_libraries(shallotcove_${name} PUBLIC Threads::Threads ${arg_LINK})
    shallotcove_target_options(shallotcove_${name})
    if(BUILD_TESTING AND tests AND NOT SHALLOTCOVE_SANITIZE STREQUAL "thread")
        add_executable(${name}_test ${tests})
        target_include_directories(${name}_test PRIVATE ${dir})
        target_link_libraries(${name}_test PRIVATE shallotcove_${name} criterion)
        shallotcove_target_options(${name}_test)
        # Limits the jobs of each program because CTest already runs the programs in parallel.
        add_test(NAME ${name} COMMAND ${name}_test --jobs 2)
        # Fixed seed for the property tests, so that every run gives the same result.
        set_tests_properties(${name} PROPERTIES TIMEOUT 600 ENVIRONMENT RC_PARAMS=seed=1)
    endif()
    if(BUILD_TESTING)
        foreach(source ${thread_tests})
            get_filename_component(program ${source} NAME_WE)
            add_executable(${program} ${source})
            target_include_directories(${program} PRIVATE ${dir})
            target_link_libraries(${program} PRIVATE shallotcove_${name})
            shallotcove_target_options(${program})
            add_test(NAME ${program} COMMAND ${program})
            set_tests_properties(${program} PROPERTIES TIMEOUT 300)
        endforeach()
    endif()
endfunction()
