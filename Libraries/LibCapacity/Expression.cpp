#include <LibCapacity/Expression.h>

#include <cctype>
#include <charconv>

namespace Capacity {

namespace {

    /// A recursive-descent parser that evaluates the expression as it parses.
    class ExpressionParser {
    public:
        ExpressionParser(std::string_view text, const Variables& variables)
            : text_(text)
            , variables_(variables)
        {
        }

        Base::ErrorOr<double> parseAll()
        {
            TRY_ASSIGN(value, parseSum());
            skipSpaces();
            if (position_ != text_.size())
                return unexpectedTextError();
            return value;
        }

    private:
        Base::ErrorOr<double> parseSum()
        {
            TRY_ASSIGN(value, parseProduct());
            while (true) {
                const char operatorCharacter = peek();
                if (operatorCharacter != '+' && operatorCharacter != '-')
                    return value;
                position_++;
                TRY_ASSIGN(next, parseProduct());
                value = operatorCharacter == '+' ? value + next : value - next;
            }
        }

        Base::ErrorOr<double> parseProduct()
        {
            TRY_ASSIGN(value, parseFactor());
            while (true) {
                const char operatorCharacter = peek();
                if (operatorCharacter != '*' && operatorCharacter != '/')
                    return value;
                position_++;
                TRY_ASSIGN(next, parseFactor());
                value = operatorCharacter == '*' ? value * next : value / next;
            }
        }

        Base::ErrorOr<double> parseFactor()
        {
            const char first = peek();
            if (first == '(') {
                position_++;
                TRY_ASSIGN(value, parseSum());
                if (peek() != ')')
                    return unexpectedTextError();
                position_++;
                return value;
            }
            if (std::isdigit(static_cast<unsigned char>(first)) != 0)
                return parseNumber();
            if (std::isalpha(static_cast<unsigned char>(first)) != 0)
                return parseVariable();
            return unexpectedTextError();
        }

        Base::ErrorOr<double> parseNumber()
        {
            double value = 0;
            const auto* begin = text_.data() + position_;
            const auto [end, failure] = std::from_chars(begin, text_.data() + text_.size(), value);
            if (failure != std::errc {})
                return unexpectedTextError();
            position_ += static_cast<std::size_t>(end - begin);
            return value;
        }

        Base::ErrorOr<double> parseVariable()
        {
            const auto begin = position_;
            while (position_ < text_.size() && isNameCharacter(text_[position_]))
                position_++;
            const auto name = text_.substr(begin, position_ - begin);
            const auto found = variables_.find(name);
            if (found == variables_.end())
                return Base::makeError(Base::ErrorCode::NotFound, "unknown variable '" + std::string(name) + "'");
            return found->second;
        }

        static bool isNameCharacter(char character)
        {
            return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '_' || character == '.';
        }

        void skipSpaces()
        {
            while (position_ < text_.size() && text_[position_] == ' ')
                position_++;
        }

        /// Skips spaces and returns the next character without consuming it, or zero at the end.
        char peek()
        {
            skipSpaces();
            return position_ < text_.size() ? text_[position_] : '\0';
        }

        boost::leaf::error_id unexpectedTextError() const
        {
            return Base::makeError(Base::ErrorCode::Malformed,
                "'" + std::string(text_) + "': unexpected text at " + std::to_string(position_));
        }

        std::string_view text_;
        const Variables& variables_;
        std::size_t position_ { 0 };
    };

}

Base::ErrorOr<double> evaluate(std::string_view formula, const Variables& variables)
{
    return ExpressionParser(formula, variables).parseAll();
}

}
