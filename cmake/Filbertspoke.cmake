# Helpers shared by every package's CMakeLists.txt.

set(filbertspokeWarnings -Wall -Wextra -Wpedantic)
set(filbertspokeDefinitions BOOST_ALL_DYN_LINK BOOST_ASIO_NO_DEPRECATED)

# Adds the library `Package` from filbertspoke/src/<Package>/*.cpp and the tests in tests/.
# PUBLIC lists what its public header needs, PRIVATE what only its sources need.
function(filbertspoke_package package)
    cmake_parse_arguments(PARSE_ARGV 1 arg "" "" "PUBLIC;PRIVATE")
    file(GLOB sources CONFIGURE_DEPENDS
        ${CMAKE_CURRENT_SOURCE_DIR}/filbertspoke/src/${package}/*.cpp
        ${CMAKE_CURRENT_SOURCE_DIR}/filbertspoke/src/${package}/internal/*.cpp
        ${CMAKE_CURRENT_SOURCE_DIR}/gen-cpp/*.cpp)
    if(sources)
        add_library(${package} STATIC ${sources})
        set(scope PUBLIC)
        target_compile_options(${package} PRIVATE ${filbertspokeWarnings})
        target_link_libraries(${package} PRIVATE ${arg_PRIVATE})
    else()
        add_library(${package} INTERFACE)
        set(scope INTERFACE)
    endif()
    target_include_directories(${package} ${scope} ${CMAKE_CURRENT_SOURCE_DIR})
    target_compile_definitions(${package} ${scope} ${filbertspokeDefinitions})
    target_link_libraries(${package} ${scope} ${arg_PUBLIC} Threads::Threads)

    if(NOT FILBERTSPOKE_DEVELOPMENT)
        return()
    endif()

    file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
    foreach(test IN LISTS tests)
        filbertspoke_test(${package} ${test})
    endforeach()

    file(GLOB benchmarks CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/benchmarks/*.cpp)
    foreach(source IN LISTS benchmarks)
        get_filename_component(name ${source} NAME_WE)
        add_executable(${name} ${source})
        target_link_libraries(${name} PRIVATE ${package} benchmark::benchmark)
    endforeach()
endfunction()

# Adds one Boost.Test program for a test file, and one ctest entry for each of its test cases,
# so that `ctest -N` lists every case as <Package>.<File>.<case>.
function(filbertspoke_test package source)
    get_filename_component(feature ${source} NAME_WE)
    set(program ${package}${feature}Test)
    add_executable(${program} ${source})
    target_compile_options(${program} PRIVATE ${filbertspokeWarnings})
    target_compile_definitions(${program} PRIVATE BOOST_TEST_MODULE=${feature} BOOST_TEST_DYN_LINK)
    target_link_libraries(${program} PRIVATE ${package} Boost::unit_test_framework rapidcheck
        $<TARGET_NAME_IF_EXISTS:TestSupport>)

    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${source})
    file(STRINGS ${source} declarations REGEX "^BOOST_(AUTO|FIXTURE)_TEST_CASE\\(")
    foreach(declaration IN LISTS declarations)
        string(REGEX REPLACE "^BOOST_[A-Z_]+\\(([A-Za-z0-9_]+).*" "\\1" case "${declaration}")
        add_test(NAME ${package}.${feature}.${case} COMMAND ${program} --run_test=${case})
        set_tests_properties(${package}.${feature}.${case} PROPERTIES TIMEOUT 120)
    endforeach()
endfunction()
