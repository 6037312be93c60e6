// platformconfiguration.cpp: configurations as operators of the users' platform could send them.
#include "platform/configurationreader.h"

#include "sapphirespool/Configuration/reader.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    static const auto reader = sapphirespool::adapter::makeConfigurationReader();
    static_cast<void>(reader->read(std::string_view(reinterpret_cast<const char *>(data), size)));
    return 0;
}
