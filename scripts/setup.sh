#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need.
# Does nothing when all of them are installed already.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy pkg-config curl jq
  librestinio-dev libasio-dev libfmt-dev libhttp-parser-dev
  libgrpc++-dev libprotobuf-dev protobuf-compiler-grpc protobuf-compiler
  libyaml-cpp-dev libcurl4-openssl-dev libtclap-dev liblog4cxx-dev
  libexpected-dev libcriterion-dev librapidcheck-dev nlohmann-json3-dev
  libboost-dev libxxhash-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

echo "setup: installing ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
