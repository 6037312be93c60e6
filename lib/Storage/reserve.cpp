#include "sapphirespool/Storage/reserve.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace sapphirespool::storage
{

namespace
{

constexpr auto reserveName = "reserve";

} // namespace

Reserve::Reserve(Folder &folder)
    : folder(folder)
{
}

auto Reserve::existingSize() -> boost::leaf::result<std::size_t>
{
    BOOST_LEAF_AUTO(names, this->folder.list());
    if (std::find(names.begin(), names.end(), reserveName) == names.end()) {
        return std::size_t(0);
    }
    BOOST_LEAF_AUTO(content, this->folder.read(reserveName));
    return content.size();
}

auto Reserve::fill() -> boost::leaf::result<void>
{
    if (this->filled) {
        return {};
    }
    BOOST_LEAF_AUTO(present, this->existingSize());
    if (present != reserveSize) {
        BOOST_LEAF_AUTO(file, this->folder.create(reserveName));
        auto written = file->append(Bytes(reserveSize));
        if (!written) {
            file.reset();
            this->removeFile();
            return written;
        }
    }
    this->filled = true;
    return {};
}

auto Reserve::release() -> bool
{
    this->filled = false;
    const auto present = boost::leaf::try_handle_all(
        [this] {
            return this->existingSize();
        },
        [] {
            return std::size_t(0);
        });
    return present > 0 && this->removeFile();
}

auto Reserve::removeFile() -> bool
{
    return boost::leaf::try_handle_all(
        [this]() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(this->folder.remove(reserveName));
            return true;
        },
        [] {
            return false;
        });
}

} // namespace sapphirespool::storage
