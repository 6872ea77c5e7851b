/// Measures the deciding systems under load and faults on simulated time.
///
/// PolicyBench [--seeds=N] [--first-seed=N] [--site=NAME] [--only=SCENARIO]
///             [--json=FILE] [--svg=FOLDER]
#include "support/Report.h"
#include "support/RequestScenarios.h"
#include "support/TaskScenarios.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <functional>
#include <numeric>
#include <string>
#include <string_view>

using namespace dragonfly::bench;

namespace {

struct Flags {
  std::size_t Seeds_ = 10;
  std::size_t FirstSeed_ = 1;
  std::string Site_;
  std::string Only_;
  std::string Json_;
  std::string Svg_;
};

struct Scenario {
  std::string_view Name_;
  std::function<Measures(const Deployment &, const Seeds &)> Run_;
};

const std::array Scenarios{
    Scenario{"least-urgent-flood", floodOfLeastUrgent},
    Scenario{"most-urgent-flood", floodOfMostUrgent},
    Scenario{"floods-then-calm", floodsThenCalm},
    Scenario{"customer-beyond-plan", customerBeyondPlan},
    Scenario{"failing-workers", failingWorkers},
    Scenario{"cancellations", cancellationWave},
    Scenario{"first-fit", againstFirstFit},
    Scenario{"impossible-jobs", impossibleJobs},
    Scenario{"weights", weightsOfDeployments},
};

bool take(std::string_view Argument, std::string_view Name, std::string &Into) {
  if (!Argument.starts_with(Name))
    return false;
  Into = Argument.substr(Name.size());
  return true;
}

bool parse(int Argc, char **Argv, Flags &Into) {
  for (int Index = 1; Index < Argc; ++Index) {
    const std::string_view Argument = Argv[Index];
    std::string Count;
    if (take(Argument, "--seeds=", Count))
      Into.Seeds_ = std::stoul(Count);
    else if (take(Argument, "--first-seed=", Count))
      Into.FirstSeed_ = std::stoul(Count);
    else if (!take(Argument, "--site=", Into.Site_) &&
             !take(Argument, "--only=", Into.Only_) &&
             !take(Argument, "--json=", Into.Json_) &&
             !take(Argument, "--svg=", Into.Svg_))
      return false;
  }
  return true;
}

void writePlots(const std::string &Folder, const std::string &Site,
                const Measures &Rows) {
  std::size_t Number = 0;
  for (const Measure &Row : Rows) {
    std::string Path = Folder;
    Path.append("/").append(Site).append("-");
    Path.append(std::to_string(++Number)).append(".svg");
    std::ofstream(Path) << plotOf(Site, Row);
  }
}

Measures measure(const Deployment &Site, const Flags &Options) {
  Seeds Runs(Options.Seeds_);
  std::iota(Runs.begin(), Runs.end(), Options.FirstSeed_);
  Measures Rows;
  for (const Scenario &Row : Scenarios) {
    if (!Options.Only_.empty() && Options.Only_ != Row.Name_)
      continue;
    const Measures Found = Row.Run_(Site, Runs);
    std::fputs(tableOf(Site.Name_, Found).c_str(), stdout);
    std::fflush(stdout);
    Rows.insert(Rows.end(), Found.begin(), Found.end());
  }
  return Rows;
}

} // namespace

int main(int Argc, char **Argv) {
  Flags Options;
  if (!parse(Argc, Argv, Options)) {
    std::fputs("usage: PolicyBench [--seeds=N] [--first-seed=N] [--site=NAME] "
               "[--only=SCENARIO] [--json=FILE] [--svg=FOLDER]\n",
               stderr);
    return 2;
  }
  std::puts("| deployment | measure | median [least .. most] | bound | verdict "
            "| baseline | its median [least .. most] |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- |");
  std::string Json;
  for (const Deployment &Site : {makeNotbandet(), makeSiamSpoke()}) {
    if (!Options.Site_.empty() && Options.Site_ != Site.Name_)
      continue;
    const Measures Rows = measure(Site, Options);
    Json += (Json.empty() ? "" : ",\n") + jsonOf(Site.Name_, Rows);
    if (!Options.Svg_.empty())
      writePlots(Options.Svg_, Site.Name_, Rows);
  }
  if (!Options.Json_.empty())
    std::ofstream(Options.Json_) << "[" << Json << "]\n";
  return 0;
}
