#!/usr/bin/env bash
# Builds the programs of the cases of the second review into target/review-2. Needs the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

[ -x target/bin/entryd ] || {
    cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DEELGRASSHATCH_ENTRY_VM_ONLY=ON
    cmake --build target -j8 --target entryd
}
mkdir -p target/review-2
OWN=review/standins-2
SHARED=("$OWN/Fleet.cpp" "$OWN/Platform.cpp" StandIns/Common/EventLoop.cpp StandIns/LibFleet/FlowPacket.cpp
    StandIns/LibFleet/RecordStore.cpp StandIns/LibFleet/StoreServer.cpp)
OBJECTS=()
for source in "${SHARED[@]}"; do
    object="target/review-2/$(basename "$source" .cpp).o"
    g++ -std=c++20 -O2 -I. -ILibraries -IStandIns -I"$OWN" -c "$source" -o "$object" &
    OBJECTS+=("$object")
done
wait
for program in Recovery PlannedStop ColdLimit; do
    g++ -std=c++20 -O2 -I. -ILibraries -IStandIns -I"$OWN" "$OWN/$program.cpp" "${OBJECTS[@]}" \
        target/Libraries/LibHttp/libLibHttp.a target/Libraries/LibPeer/libLibPeer.a \
        target/Libraries/LibBase/libLibBase.a -lcrypto -lxxhash -pthread -o "target/review-2/$program"
done
