//! Check of the operators' token in the `authorization` header.

use dandelion_rpc::ErrorCode;
use dandelion_rpc::token::check_token;

const TOKEN: Option<&str> = Some("0123456789abcdef");

#[test]
fn right_token() {
    for header in ["Bearer 0123456789abcdef", "bearer  0123456789abcdef "] {
        assert_eq!(check_token(Some(header), TOKEN), Ok(()), "{header}");
    }
}

#[test]
fn wrong_token() {
    for header in [
        None,
        Some(""),
        Some("Bearer"),
        Some("Bearer "),
        Some("Bearer 0123456789abcde"),
        Some("Bearer 0123456789abcdef0"),
        Some("Basic 0123456789abcdef"),
        Some("0123456789abcdef"),
        Some("béarer 0123456789abcdef"),
    ] {
        let error = check_token(header, TOKEN).expect_err("refused");
        assert_eq!(error.code, ErrorCode::Unauthenticated, "{header:?}");
    }
}

#[test]
fn no_token_set() {
    for header in [None, Some("Bearer "), Some("Bearer 0123456789abcdef")] {
        let error = check_token(header, None).expect_err("refused");
        assert!(error.remedy.contains("--operator-token-file"));
    }
}
