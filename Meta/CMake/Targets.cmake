# Functions that declare the project's targets. Every source below the calling folder belongs to the target.

set(EELGRASSHATCH_BIN_DIRECTORY ${CMAKE_BINARY_DIR}/bin)

# eelgrasshatch_library(LibName [libraries it needs...])
function(eelgrasshatch_library name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    if(sources)
        add_library(${name} STATIC ${sources})
        target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/Libraries)
        target_link_libraries(${name} PUBLIC ${ARGN} Threads::Threads)
    else()
        add_library(${name} INTERFACE)
        target_include_directories(${name} INTERFACE ${CMAKE_SOURCE_DIR}/Libraries)
        target_link_libraries(${name} INTERFACE ${ARGN} Threads::Threads)
    endif()
endfunction()

# eelgrasshatch_program(binary-name [libraries it needs...])
function(eelgrasshatch_program name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_compile_definitions(${name} PRIVATE EELGRASSHATCH_VERSION="${PROJECT_VERSION}")
    target_link_libraries(${name} PRIVATE ${ARGN} Threads::Threads)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${EELGRASSHATCH_BIN_DIRECTORY})
endfunction()

# eelgrasshatch_test(TestName [libraries it needs...]): one Catch2 program with one ctest entry.
function(eelgrasshatch_test name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/Tests)
    target_link_libraries(${name} PRIVATE ${ARGN} CatchMain Threads::Threads)
    add_test(NAME ${name} COMMAND ${name} WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
endfunction()

# eelgrasshatch_generated_library(LibName): committed protobuf and gRPC code below Generated/, without our
# warnings and checks. Included as <Name.pb.h>.
function(eelgrasshatch_generated_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/Generated/*.cc)
    add_library(${name} STATIC ${sources})
    target_compile_options(${name} PRIVATE -w)
    target_include_directories(${name} SYSTEM PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/Generated)
    target_link_libraries(${name} PUBLIC gRPC::grpc++ protobuf::libprotobuf Threads::Threads)
endfunction()

# Adds every subfolder that has a CMakeLists.txt.
function(eelgrasshatch_add_subdirectories)
    file(GLOB lists CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*/CMakeLists.txt)
    foreach(list IN LISTS lists)
        get_filename_component(directory ${list} DIRECTORY)
        add_subdirectory(${directory})
    endforeach()
endfunction()
