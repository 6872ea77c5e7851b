#include "dragonfly/control/ListTable.h"

namespace dragonfly::control {

std::vector<settings::JsonFault> validateList(settings::ListName List,
                                              const std::string &Content,
                                              const std::string &OtherContent) {
  const bool IsPlans = List == settings::ListName::Plans;
  try {
    settings::checkPurchases(
        settings::parsePurchases(IsPlans ? OtherContent : Content),
        settings::parsePlans(IsPlans ? Content : OtherContent));
    return {};
  } catch (const settings::SettingsError &Rejected) {
    return Rejected.faults();
  }
}

} // namespace dragonfly::control
