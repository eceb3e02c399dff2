// eelgrasshatch-benchmarks: microbenchmarks of the packet path and of configuration changes (Google Benchmark; --help
// shows its options).

#include <benchmark/benchmark.h>

BENCHMARK_MAIN();
