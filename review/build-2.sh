#!/bin/sh
# Builds the stand-ins of the cases of the second review into target/review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/case.cpp review/7/case.cpp review/8/case.cpp review/9/case.cpp review/10/case.cpp; do
    [ -f "$source" ] || continue
    name=case-$(basename "$(dirname "$source")")
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "$source"
done
