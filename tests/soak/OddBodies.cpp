#include "soak/OddBodies.h"

#include <algorithm>
#include <string_view>
#include <vector>

namespace dragonfly::soak {

std::string oddValue(RandomEngine &Random) {
  constexpr std::size_t Levels = 10000;
  static const std::vector<std::string> Values{std::string(Levels, '[') +
                                                   std::string(Levels, ']'),
                                               "1e308",
                                               "1e9999999999",
                                               "-1",
                                               "4294967297",
                                               "18446744073709551616",
                                               "\"10.0.0.9:70000\"",
                                               "\"\xff\"",
                                               "true",
                                               "null",
                                               "{}",
                                               "[]",
                                               "nonsense"};
  return Values[Random() % Values.size()];
}

std::string makeOdd(std::string Body, RandomEngine &Random) {
  std::vector<std::size_t> Begins;
  for (std::size_t At = 0; At + 1 < Body.size(); ++At)
    if (std::string_view(":,[").find(Body[At]) != std::string_view::npos)
      Begins.push_back(At + 1);
  constexpr std::size_t CutEvery = 5;
  if (Begins.empty() || Random() % CutEvery == 0)
    return Body.substr(0, Random() % Body.size());
  const std::size_t Begin = Begins[Random() % Begins.size()];
  const std::size_t End =
      std::min(Body.find_first_of(",]}", Begin), Body.size());
  return Body.replace(Begin, End - Begin, oddValue(Random));
}

} // namespace dragonfly::soak
