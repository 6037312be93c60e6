// sharedlist.h: a list whose copies share their elements until one of them is changed.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace sapphirespool::support
{

/// Load pattern: each change of one VM or upstream makes a new view, of which dozens are kept, while the thousands of services in it
/// change a few times a day. Copied each time they would fill the memory of a control VM and take most of its processor; shared, equal
/// lists are also known to be equal without a look at their elements.
template <typename Element>
class SharedList
{
public:
    SharedList() = default;

    SharedList(std::vector<Element> elements)
        : elements(std::make_shared<std::vector<Element>>(std::move(elements)))
    {
    }

    [[nodiscard]] auto begin() const
    {
        return this->elements->cbegin();
    }

    [[nodiscard]] auto end() const
    {
        return this->elements->cend();
    }

    [[nodiscard]] auto size() const -> std::size_t
    {
        return this->elements->size();
    }

    [[nodiscard]] auto empty() const -> bool
    {
        return this->elements->empty();
    }

    [[nodiscard]] auto operator[](std::size_t place) const -> const Element &
    {
        return (*this->elements)[place];
    }

    [[nodiscard]] auto front() const -> const Element &
    {
        return this->elements->front();
    }

    [[nodiscard]] auto sharesWith(const SharedList &other) const -> bool
    {
        return this->elements == other.elements;
    }

    [[nodiscard]] auto operator==(const SharedList &other) const -> bool
    {
        return this->sharesWith(other) || *this->elements == *other.elements;
    }

    /// \return the elements, for this list alone; what other copies hold stays as it is
    [[nodiscard]] auto edit() -> std::vector<Element> &
    {
        if (this->elements.use_count() > 1) {
            this->elements = std::make_shared<std::vector<Element>>(*this->elements);
        }
        return *this->elements;
    }

    auto append(Element element) -> void
    {
        this->edit().push_back(std::move(element));
    }

private:
    std::shared_ptr<std::vector<Element>> elements = std::make_shared<std::vector<Element>>();
};

} // namespace sapphirespool::support
