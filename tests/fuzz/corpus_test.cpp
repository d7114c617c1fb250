#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/random.h"
#include "fuzz/fuzz_targets.h"

using namespace chivebeam;

namespace {

constexpr std::uint64_t MutationSeed = 20'261'204;
constexpr int MutationsPerSeedFile = 300;

std::vector<std::string> seedFiles(std::string_view Target) {
  std::filesystem::path Folder(CHIVEBEAM_TEST_DATA "/corpus");
  std::vector<std::filesystem::path> Paths;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder / Target))
    Paths.push_back(Entry.path());
  std::sort(Paths.begin(), Paths.end());
  std::vector<std::string> Texts;
  for (const std::filesystem::path &Path : Paths) {
    std::ifstream File(Path, std::ios::binary);
    std::ostringstream Text;
    Text << File.rdbuf();
    Texts.push_back(Text.str());
  }
  return Texts;
}

/// Changes, removes or duplicates a few bytes at up to four positions.
std::string mutate(std::string Text, random_source &Random) {
  for (std::uint64_t Edit = 0; Edit <= Random.below(4) && !Text.empty();
       ++Edit) {
    std::size_t Position = Random.below(Text.size());
    switch (Random.below(3)) {
    case 0:
      Text[Position] = static_cast<char>(Random.below(256));
      break;
    case 1:
      Text.erase(Position, 1 + Random.below(8));
      break;
    default:
      Text.insert(Position, Text.substr(Position, 1 + Random.below(16)));
      break;
    }
  }
  return Text;
}

} // namespace

BOOST_AUTO_TEST_CASE(every_target_handles_its_seeds_and_their_mutations) {
  random_source Random(MutationSeed);
  for (const fuzz::fuzz_target &Target : fuzz::allTargets()) {
    std::vector<std::string> Seeds = seedFiles(Target.Name);
    BOOST_TEST(!Seeds.empty(), Target.Name);
    for (const std::string &Seed : Seeds) {
      BOOST_CHECK_NO_THROW(Target.Run(Seed));
      for (int Round = 0; Round < MutationsPerSeedFile; ++Round)
        BOOST_CHECK_NO_THROW(Target.Run(mutate(Seed, Random)));
    }
  }
}
