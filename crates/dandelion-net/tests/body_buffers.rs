//! Buffered bodies: long ones share a budget, short ones always fit, and memory is given back.

use async_std::task::block_on;
use dandelion_net::http::BodyBuffer;
use dandelion_net::http::BufferBudget;
use dandelion_net::http::BufferError;
use dandelion_net::http::BufferShare;

const BUDGET: usize = 256 * 1024;
const LIMIT: usize = 1024 * 1024;
const PIECE: [u8; 16 * 1024] = [7; 16 * 1024];

/// Pushes pieces until one is refused.
fn fill(buffer: &mut BodyBuffer) -> BufferError {
    loop {
        if let Err(error) = buffer.push(&PIECE) {
            return error;
        }
    }
}

#[test]
fn limit_kept() {
    let mut buffer = BodyBuffer::new(PIECE.len() + 1);
    assert_eq!(fill(&mut buffer), BufferError::TooLong(PIECE.len() + 1));
    assert_eq!(buffer.take().len(), PIECE.len());
}

#[test]
fn endless_bodies_share_memory() {
    let budget = BufferBudget::new(BUDGET);
    let mut endless = BodyBuffer::within(LIMIT, &budget);
    assert_eq!(fill(&mut endless), BufferError::NoMemory);
    let mut other = BodyBuffer::within(LIMIT, &budget);
    assert_eq!(fill(&mut other), BufferError::NoMemory);
    let held = endless.take().len() + other.take().len();
    assert!(held <= BUDGET + 2 * 64 * 1024, "{held} bytes are held");
}

#[test]
fn short_body_beside_endless() {
    let budget = BufferBudget::new(BUDGET);
    let mut endless = BodyBuffer::within(LIMIT, &budget);
    fill(&mut endless);
    let mut short = BodyBuffer::within(LIMIT, &budget);
    assert_eq!(short.push(&PIECE), Ok(()));
}

#[test]
fn memory_returned() {
    let budget = BufferBudget::new(BUDGET);
    let mut buffer = BodyBuffer::within(LIMIT, &budget);
    for _ in 0..8 {
        buffer.push(&PIECE).unwrap();
    }
    assert!(budget.free() < BUDGET);
    let mut body = buffer.into_body();
    assert_eq!(body.len(), Some(8 * PIECE.len()));
    assert!(budget.free() < BUDGET);
    let bytes = block_on(async { body.into_bytes().await.unwrap() });
    assert_eq!(bytes, PIECE.repeat(8));
    body = BodyBuffer::within(LIMIT, &budget).into_body();
    drop(body);
    assert_eq!(budget.free(), BUDGET);
}

/// Outputs without end were bounded one by one only; many at once took more memory than a VM has.
#[test]
fn endless_outputs_share_memory() {
    let budget = BufferBudget::new(BUDGET);
    let mut shares: Vec<BufferShare> = (0..40).map(|_| BufferShare::of(&budget)).collect();
    let mut held = 0;
    for share in &mut shares {
        let mut bytes = 0;
        while share.grow_to(bytes + PIECE.len()).is_ok() {
            bytes += PIECE.len();
        }
        held += bytes;
    }
    assert!(held <= BUDGET + 40 * 64 * 1024, "{held} bytes are held");
    drop(shares);
    assert_eq!(budget.free(), BUDGET);
}
