# Functions that declare the project's libraries, test programs and tools.

# sapphirespool_add_library(Name SOURCES a.cpp ... LINKS Other ...)
# Declares lib/Name; LINKS names the libraries whose headers its own headers use.
function(sapphirespool_add_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    set(target sapphirespool${name})
    add_library(${target} STATIC ${ARG_SOURCES})
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/include)
    target_link_libraries(${target} PUBLIC sapphirespoolOptions ${ARG_LINKS})
    add_library(sapphirespool::${name} ALIAS ${target})
endfunction()

# sapphirespool_add_unittest(Name SOURCES a.cpp ... LINKS Other ... [THREADS])
# Declares the one test program of lib/Name; THREADS marks it for the thread sanitizer run.
function(sapphirespool_add_unittest name)
    cmake_parse_arguments(ARG "THREADS" "" "SOURCES;LINKS" ${ARGN})
    set(target unittest${name})
    add_executable(${target} ${ARG_SOURCES} $<TARGET_OBJECTS:sapphirespoolCatchMain>)
    target_link_libraries(${target} PRIVATE ${ARG_LINKS} sapphirespoolOptions)
    target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR}/unittests)
    add_test(NAME ${name} COMMAND ${target} --rng-seed 1)
    set_tests_properties(${name} PROPERTIES TIMEOUT 600)
    if(ARG_THREADS)
        set_tests_properties(${name} PROPERTIES LABELS threads)
    endif()
endfunction()
